"""The fleet's size: a target as data, hollow proxies, slopes, and the page that is made of them."""
