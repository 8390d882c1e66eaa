"""How a gateway learns of its endpoints: the discovery protocol's client, and the list cached over a restart."""
