package dynamo

import (
	"context"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Table is a DynamoDB table.
type Table struct {
	client *dynamodb.Client
	cfg    Config
}

var _ platform.Table = (*Table)(nil)

// New returns a table without sending a request. The client never retries
// requests: a retry after a lost answer would fail its own condition and look
// like a conflict with another operator.
func New(cfg Config) *Table {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKeyID, cfg.SecretAccessKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   &http.Client{Transport: transport},
	})
	return &Table{client: client, cfg: cfg}
}

// Get implements platform.Table with a strongly consistent read.
func (t *Table) Get(ctx context.Context, key string) (platform.ManifestRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.cfg.Table),
		Key:            keyOf(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return platform.ManifestRecord{}, errors.Wrap(err, "read table")
	}
	if len(out.Item) == 0 {
		return platform.ManifestRecord{}, platform.ErrNotFound
	}
	return decodeItem(out.Item)
}

// PutIf implements platform.Table.
func (t *Table) PutIf(ctx context.Context, key string, record platform.ManifestRecord, expected uint64) error {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	input := &dynamodb.PutItemInput{TableName: aws.String(t.cfg.Table), Item: encodeItem(key, record)}
	setCondition(input, expected)
	_, err := t.client.PutItem(ctx, input)
	return classifyWriteError(err)
}
