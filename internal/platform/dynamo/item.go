package dynamo

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Attributes of an item.
const (
	attributeID         = "id"
	attributeGeneration = "generation"
	attributeApplyID    = "apply_id"
	attributeRoot       = "root"
	attributeOperator   = "operator"
)

// attributes is an item in the form of the DynamoDB API.
type attributes = map[string]types.AttributeValue

func keyOf(key string) attributes { return attributes{attributeID: stringValue(key)} }

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberValue(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func encodeItem(key string, record platform.ManifestRecord) attributes {
	return attributes{
		attributeID:         stringValue(key),
		attributeGeneration: numberValue(record.Generation),
		attributeApplyID:    stringValue(record.ApplyID),
		attributeRoot:       stringValue(record.Root),
		attributeOperator:   stringValue(record.Operator),
	}
}

func decodeItem(a attributes) (platform.ManifestRecord, error) {
	n, ok := a[attributeGeneration].(*types.AttributeValueMemberN)
	if !ok {
		return platform.ManifestRecord{}, errors.New("table item has no generation")
	}
	generation, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		return platform.ManifestRecord{}, errors.Wrap(err, "parse generation of table item")
	}
	return platform.ManifestRecord{
		Generation: generation,
		ApplyID:    stringOf(a[attributeApplyID]),
		Root:       stringOf(a[attributeRoot]),
		Operator:   stringOf(a[attributeOperator]),
	}, nil
}

func stringOf(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}

// setCondition makes the write conditional on the stored generation.
func setCondition(input *dynamodb.PutItemInput, expected uint64) {
	if expected == 0 {
		input.ConditionExpression = aws.String("attribute_not_exists(#id)")
		input.ExpressionAttributeNames = map[string]string{"#id": attributeID}
		return
	}
	input.ConditionExpression = aws.String("#generation = :expected")
	input.ExpressionAttributeNames = map[string]string{"#generation": attributeGeneration}
	input.ExpressionAttributeValues = attributes{":expected": numberValue(expected)}
}
