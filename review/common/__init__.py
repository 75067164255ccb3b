"""What the cases of the review share: stand-ins, daemons, clients and the record."""
