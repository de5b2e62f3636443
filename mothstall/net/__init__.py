"""The proxy's network side: translates HTTP into events of `mothstall.interface` and back."""
