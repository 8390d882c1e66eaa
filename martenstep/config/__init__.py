"""Settings in protobuf text format: the schema, loading, and checks whose errors name file, line, column and field.

`text_format` parses a file and records the position of each field, `checker` and `checks` find invalid values, and
`loading` combines them.  `policy_settings` translates to the policy's settings, `changes` compares two versions, and
`tls` builds TLS contexts.
"""
