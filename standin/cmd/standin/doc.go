// Command standin runs stand-ins for the object store, the VM list and
// searchers on this machine, for trials and tests by hand.
package main
