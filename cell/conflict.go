package cell

import "github.com/rotisserie/eris"

// checkConflict returns an error if d contradicts the configuration in force: the
// same generation with another token, or a generation that is too far ahead.
func (x *configuration) checkConflict(d Document) error {
	switch {
	case x.doc.Generation == 0:
		return nil
	case d.Generation == x.doc.Generation && d.Token != x.doc.Token:
		return eris.Errorf("another configuration with generation %d is in force already", d.Generation)
	case d.Generation > x.doc.Generation && d.Generation-x.doc.Generation > maxStep:
		return eris.Errorf("generation %d is more than %d ahead of %d", d.Generation, maxStep, x.doc.Generation)
	}
	return nil
}
