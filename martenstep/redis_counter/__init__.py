"""The counter port that the module needs, over Redis: add to a name, expiry set when new, total back.

May live here: what speaks to the shared store, its pooling and its time-outs, and the mapping of what can go wrong
to the module's verdicts.  May not: what a count means.
"""
