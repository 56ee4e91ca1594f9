"""The real router: the decisions of applehub.policy on real sockets."""
