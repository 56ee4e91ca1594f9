"""The router process: runs the policy of applehub.policy on real sockets."""
