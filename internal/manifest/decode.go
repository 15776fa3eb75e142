package manifest

import "github.com/beryltrestle/beryltrestle/internal/findings"

// Decode decodes and validates a manifest and reports all findings in one pass.
// The document may be used only if there are no findings.
func Decode(data []byte) (*Document, findings.List) {
	doc := &Document{}
	list, complete := findings.Decode(data, doc)
	if !complete {
		return doc, list
	}
	return doc, list.Merge(doc.Validate())
}
