/**
 * Reads a body to its end and returns it as one buffer. Errors of the body are passed on.
 */
export const collectBody = async (body: AsyncIterable<Buffer>): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
};
