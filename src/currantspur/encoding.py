"""Text that was decoded from bytes of other programs."""


def is_utf8(text: str) -> bool:
    """Tell whether text can be encoded: other bytes are held as surrogates."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
