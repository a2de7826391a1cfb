"""Experiments with a model of engines, plain servers and callers, for planning a fleet.

The model runs on a virtual clock and calls the decisions of `sapphireledge` as the instances do. No
process of a deployment imports this package.
"""
