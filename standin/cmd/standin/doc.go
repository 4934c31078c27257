// Command standin runs stand-ins for the object store, the VM list and the
// searchers on this machine, for trials and manual tests.
package main
