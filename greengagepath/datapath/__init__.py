"""What a balancer does with each packet of the own protocol."""
