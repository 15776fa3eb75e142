package platform

import (
	"regexp"

	"github.com/cockroachdb/errors"
)

// The two forms of condition expression that the adapter uses.
var (
	notExistsCondition = regexp.MustCompile(`^attribute_not_exists\((#\w+)\)$`)
	equalsCondition    = regexp.MustCompile(`^(#\w+) = (:\w+)$`)
)

// conditionHolds evaluates the request's condition against the stored item.
func conditionHolds(req tableRequest, stored attributes) (bool, error) {
	if req.ConditionExpression == "" {
		return true, nil
	}
	if m := notExistsCondition.FindStringSubmatch(req.ConditionExpression); m != nil {
		_, exists := stored[req.ExpressionAttributeNames[m[1]]]
		return !exists, nil
	}
	m := equalsCondition.FindStringSubmatch(req.ConditionExpression)
	if m == nil {
		return false, errors.Newf("condition %q is not supported", req.ConditionExpression)
	}
	value := stored[req.ExpressionAttributeNames[m[1]]]
	want := req.ExpressionAttributeValues[m[2]]
	return len(value) > 0 && value["N"] == want["N"] && value["S"] == want["S"], nil
}
