"""Orders to engines: fencing and queues."""
