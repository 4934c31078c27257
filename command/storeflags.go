package command

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/diff"
	"medlaryard.example/medlaryard/catalogue/publish"
)

// storeTimeout bounds one reading of the store by check and apply.
const storeTimeout = 5 * time.Second

// difference compares what is in force with estate, which comes after it.
func difference(now publish.Current, estate catalogue.Estate) (string, error) {
	var before catalogue.Estate
	if now.Generation() > 0 {
		var err error
		if before, err = now.Estate(); err != nil {
			return "", err
		}
	}
	return diff.Text(diff.Estates(before, estate)), nil
}
