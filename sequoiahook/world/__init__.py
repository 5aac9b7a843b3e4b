"""The world as objects: regions, data centres, links, targets, organisations."""
