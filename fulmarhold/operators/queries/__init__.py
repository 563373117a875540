"""Operations that read state."""
