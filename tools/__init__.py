"""Tools around the product: real processes for the demo, tests and benches."""
