"""Settings as protobuf text format: the schema, loading, and checks that name file, line, column and field.

May live here: schemas and their generated code, the reader that keeps places, checks, and the translation into
the module's settings.  May not: sockets, clocks, decisions.
"""
