"""Model of the system: regions, data centres, links, targets and organisations."""
