"""Where on-call staff call: ready, figures, hosts out by hand. Imported only where it is asked for."""
