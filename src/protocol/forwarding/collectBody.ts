/**
 * Reads a body to its end.
 *
 * @returns The whole of it; throws what the body throws where it breaks off.
 */
export const collectBody = async (body: AsyncIterable<Buffer>): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
};
