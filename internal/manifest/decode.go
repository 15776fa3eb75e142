package manifest

import "github.com/beryltrestle/beryltrestle/internal/findings"

// Decode decodes and validates a manifest, and reports all findings in one
// pass. The document is complete and valid only if there are none.
func Decode(data []byte) (*Document, findings.List) {
	doc := &Document{}
	list, complete := findings.Decode(data, doc)
	if !complete {
		return doc, list
	}
	return doc, list.Merge(doc.Validate())
}
