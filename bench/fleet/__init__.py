"""The fleet's decisions over scripted bursts, waves and rack failures."""
