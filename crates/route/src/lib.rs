//! Every decision on a query: admission, version, replica, hedge, retry and answer.
