package cell

import "github.com/rotisserie/eris"

// wants returns an error for a configuration that contradicts the one in force.
func (x *configuration) wants(d Document) error {
	switch {
	case x.doc.Generation == 0:
		return nil
	case d.Generation == x.doc.Generation && d.Token != x.doc.Token:
		return eris.Errorf("another configuration has generation %d as well", d.Generation)
	case d.Generation > x.doc.Generation && d.Generation-x.doc.Generation > maxStep:
		return eris.Errorf("generation %d is too far ahead of %d", d.Generation, x.doc.Generation)
	}
	return nil
}
