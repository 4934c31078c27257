// Package move takes traffic from one back-end version to another. It judges
// the new version against the old one, steps its share of traffic, and rolls a
// bad version back. State lives in the platform's store, one object per move;
// evidence is collected from the homes.
package move
