"""Wire formats: codecs for links and datagrams, HTTP fields and trace contexts."""
