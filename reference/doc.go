// Package reference renders the reference pages that are generated from
// tables in the code: docs/settings.md, docs/errors.md and docs/CAPACITY.md. The package's test
// keeps the pages equal to the tables; "go test ./reference -update" rewrites them.
package reference
