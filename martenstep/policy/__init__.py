"""The decisions of a gateway instance, as pure modules: events in, actions out.  `gateway` is the entry point."""
