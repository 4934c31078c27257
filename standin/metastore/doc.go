// Package metastore is a stand-in for the platform's store: objects by kind and
// name with revisions, conditional updates, watches and a history that is
// dropped. Faults are injected from outside by its methods.
package metastore
