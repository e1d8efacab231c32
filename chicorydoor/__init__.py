"""Global traffic steering for services in several regions."""

__version__ = "0.1.0"
