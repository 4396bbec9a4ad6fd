"""The entry daemon: sources and sinks around the decision pipelines."""
