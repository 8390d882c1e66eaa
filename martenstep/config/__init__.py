"""Settings as protobuf text format: the schema, loading, and checks that name file, line, column and field.

`text_format` parses and keeps positions, `checker` and `checks` say what is wrong, `loading` puts them together,
`policy_settings` translates to the decisions' settings, `changes` compares two versions, `tls` builds TLS contexts.
"""
