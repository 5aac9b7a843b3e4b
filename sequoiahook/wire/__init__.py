"""Wire formats: codecs for links, HTTP fields and trace contexts."""
