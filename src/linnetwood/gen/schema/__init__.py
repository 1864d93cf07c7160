__all__ = ['ttypes', 'constants', 'Operators']
