"""Apart from the product: stand-ins, histories and measurements."""
