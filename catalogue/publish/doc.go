// Package publish reads and changes the object catalogue/current, the one
// place where the catalogue in force is stored. Every change is a conditional
// update with generation = previous + 1 and a unique token, so that concurrent
// operators cannot overwrite each other and a lost reply is resolved by
// reading the object back.
package publish
