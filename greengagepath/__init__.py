"""Layer-4 load balancer and library of coordination parts."""

__version__ = '0.1.0'
