"""Load estimates and choices under overload, without network or asyncio."""
