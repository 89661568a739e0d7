"""Thrift messages between lentilspool's own processes."""
