package policy

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// LoadYAML reads and validates a document as DecodeYAML does. Faults of the document
// are errors of kind invalid_config.
func LoadYAML(r io.Reader) (*Document, error) {
	doc, err := DecodeYAML(r)
	if err != nil {
		return nil, err
	}
	if problems := Validate(doc); len(problems) > 0 {
		return nil, ProblemsError(problems)
	}
	return doc, nil
}

// DecodeYAML reads a document without validating it. Unknown fields are rejected;
// built-in classes that the document does not mention keep their defaults. Syntax
// errors are of kind invalid_config and name the line.
func DecodeYAML(r io.Reader) (*Document, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration document")
	}
	doc := Default()
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(doc); err != nil && !errors.Is(err, io.EOF) {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "the configuration document is not valid YAML for this version")
	}
	return doc.Clone(), nil
}
