"""The control role: owns the accepted versions."""
