"""Development tools: demo, fuzzer, measurements and generated documentation."""
