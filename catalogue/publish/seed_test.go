package publish_test

import "flag"

// A fixed seed makes every run draw the same cases; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
