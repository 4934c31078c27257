package home

import "time"

// adoptionMemory is the time for which the knowledge of a previous home waits
// for the assignment; after that a searcher known as warm may have restarted.
const adoptionMemory = 10 * time.Second

// adoption is what a previous home knew, before the assignment that needs it.
type adoption struct {
	released Released
	at       time.Duration
}
