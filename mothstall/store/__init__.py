"""A small replicated store: consensus and state are pure, the log on disk and the frames are shells."""
