// Package cell agrees with the other daemons of the cell on who is a member and
// which daemon is home of each replica group, and spreads the configuration.
//
// All agreement goes through one object in the platform's store, written by the
// keeper. Members hold leases that the keeper grants; during a store outage a
// majority of the members extends them.
package cell
