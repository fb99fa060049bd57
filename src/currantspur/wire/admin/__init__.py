"""Serve operators over HTTP."""

from currantspur.wire.admin.listener import AdminListener
from currantspur.wire.admin.services import AdminServices

__all__ = ('AdminListener', 'AdminServices')
