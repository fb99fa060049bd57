"""Offer callers a small library: look-ups, safe retries, idempotency keys."""

from currantspur.client.answers import Answer
from currantspur.client.caller import Caller
from currantspur.client.keys import mint_idempotency_key

__all__ = ('Answer', 'Caller', 'mint_idempotency_key')
